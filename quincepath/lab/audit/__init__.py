"""Checks the six rules of a broker against the records of clients and holders; no broker's record is used.

``audit`` reads record files, ``check_rules`` takes a ``RecordIndex`` that ``collect`` made of lines. Both
return a ``Report``. Each finding names the rule, the file and line that show the violation, and its cause.
``slack`` in the record's bounds allows for transit, because an event is stamped where it was observed, not
where it began. Times are ns. A line or file that cannot be read is a finding of rule 0, not an error.
"""

from quincepath.lab.audit.record_index import Finding, LocatedLine, RecordIndex, Report, collect
from quincepath.lab.audit.rules import audit, check_rules

__all__ = ["Finding", "LocatedLine", "RecordIndex", "Report", "audit", "check_rules", "collect"]
