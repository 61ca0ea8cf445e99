"""A broker's part: stages the map named in the log, uses it when the log says so, one version per query.

Pure. A started broker answers nothing until it has read the log up to what was committed when it asked, and
has staged both the version in use there and the one being staged. So a broker that was away cannot return
with the old map, and what it reported before it stopped is true again before it answers.
"""

from dataclasses import dataclass, field

from quincepath.fleet.adoption.state import Topology
from quincepath.shards.versions import MapVersion, MapVersions


@dataclass(slots=True)
class MapFollower:
    """``configured``: version 1 from this broker's own configuration, used while the log has none.
    ``staged``: versions that are built and ready here. ``used``: the version in use by the log.
    """

    configured: MapVersion
    versions: MapVersions | None = None
    staged: dict[int, MapVersion] = field(default_factory=dict)
    used: int = 0
    _log_read: bool = False
    _wanted: dict[int, MapVersion] = field(default_factory=dict)

    def on_log_read(self, topology: Topology) -> None:
        """Everything committed before this broker asked is applied. Called once after each start."""
        self._log_read = True
        if self.versions is None and not topology.used:
            self.versions = MapVersions(self.configured)
        self.apply_topology(topology)

    def apply_topology(self, topology: Topology) -> None:
        """Takes in the state after entries were applied."""
        self.used = topology.used
        self._wanted = {}
        for number in (topology.used, topology.staging):
            found = topology.version(number)
            if found is not None:
                self._wanted[number] = found
        known = set(topology.maps)
        self.staged = {number: found for number, found in self.staged.items() if number in known}
        if self.versions is not None:
            current = self.versions.current
            found = topology.version(current.number)
            if found is not None and found.digest == current.digest:
                self.staged.setdefault(current.number, current)
        self._advance()

    def next_to_stage(self) -> MapVersion | None:
        """The version to stage next: the one in use before the one that may come."""
        for number, found in self._wanted.items():
            if number not in self.staged:
                return found
        return None

    def mark_staged(self, version: MapVersion) -> None:
        """The version is ready here: validated, built, its shards numbered."""
        if version.number in self._wanted:
            self.staged[version.number] = version
            self._advance()

    def _advance(self) -> None:
        version = self.staged.get(self.used)
        if version is None:
            return
        if self.versions is None:
            if self._log_read and self.next_to_stage() is None:
                self.versions = MapVersions(version)
        elif version.number > self.versions.current.number:
            self.versions.adopt(
                version
            )  # False while too many versions have queries; retried at each release

    @property
    def serving(self) -> bool:
        """Whether a query may start."""
        return self.versions is not None and (self.used == 0 or self.used in self.staged)

    def hold(self, query: int) -> MapVersion | None:
        """The version of a query, the same from its first part to its merge; None: reject it as overload."""
        if self.versions is None or not (self.serving or self.versions.holds(query)):
            return None
        return self.versions.hold(query)

    def release(self, query: int) -> None:
        """The query is merged or abandoned."""
        if self.versions is not None:
            self.versions.release(query)
            self._advance()

    @property
    def accepts_queries(self) -> bool:
        """Whether a query may start and hold a version."""
        return self.serving and self.versions is not None and not self.versions.full

    def usage(self) -> tuple[int, int]:
        """The version in use here, 0 for none, and the number of queries that hold an older one."""
        if self.versions is None or not self.serving:
            return 0, 0
        return self.versions.current.number, self.versions.older()
