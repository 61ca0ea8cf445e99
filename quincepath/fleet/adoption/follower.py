"""A broker's part: stage the map that the log names, use it when the log says so, hold one version a query.

Pure. A broker that has started answers nothing before it has read the log up to what was committed when it
asked, and staged the version in use there and the one that is being staged: so one that was away cannot come
back with the old map, and what it said of itself before it stopped holds again before it answers.
"""

from dataclasses import dataclass, field

from quincepath.fleet.adoption.state import Topology
from quincepath.shards.versions import MapVersion, MapVersions


@dataclass(slots=True)
class MapFollower:
    """``configured``: version 1 as its own configuration has it, in force while none is in the log.
    ``staged``: versions that are built and ready here.
    """

    configured: MapVersion
    versions: MapVersions | None = None
    staged: dict[int, MapVersion] = field(default_factory=dict)
    used: int = 0
    _read: bool = False
    _wanted: dict[int, MapVersion] = field(default_factory=dict)

    def on_log_read(self, topology: Topology) -> None:
        """All that was committed when this broker asked is applied. Once after each start."""
        self._read = True
        if self.versions is None and not topology.used:
            self.versions = MapVersions(self.configured)
        self.apply_topology(topology)

    def apply_topology(self, topology: Topology) -> None:
        """Something was applied."""
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
        self._turn()

    def next_to_stage(self) -> MapVersion | None:
        """What must be made ready next: the version in use before the one that may come."""
        for number, found in self._wanted.items():
            if number not in self.staged:
                return found
        return None

    def mark_staged(self, version: MapVersion) -> None:
        """It is ready here: checked, built, its shards numbered."""
        if version.number in self._wanted:
            self.staged[version.number] = version
            self._turn()

    def _turn(self) -> None:
        version = self.staged.get(self.used)
        if version is None:
            return
        if self.versions is None:
            if self._read and self.next_to_stage() is None:
                self.versions = MapVersions(version)
        elif version.number > self.versions.current.number:
            self.versions.adopt(version)  # not yet, while too many versions have queries: tried at each end

    @property
    def serving(self) -> bool:
        """Whether a query may begin."""
        return self.versions is not None and (self.used == 0 or self.used in self.staged)

    def hold(self, query: int) -> MapVersion | None:
        """The version that a query has from its first part to its merge; None: refuse it as overload."""
        if self.versions is None or not (self.serving or self.versions.holds(query)):
            return None
        return self.versions.hold(query)

    def release(self, query: int) -> None:
        """Its merge is done, or it was given up."""
        if self.versions is not None:
            self.versions.release(query)
            self._turn()

    @property
    def accepts_queries(self) -> bool:
        """Whether a query may begin and hold a version."""
        return self.serving and self.versions is not None and not self.versions.full

    def usage(self) -> tuple[int, int]:
        """The version in use here, 0 for none, and queries that hold an older one."""
        if self.versions is None or not self.serving:
            return 0, 0
        return self.versions.current.number, self.versions.older()
