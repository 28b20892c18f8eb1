"""Gateways of two builds, some of which lose their paths to the servers."""

from gevent import lock

from proofs import mixed_builds
from tests import builders_paths, processes, test_stream_versions

_GATEWAYS_COUNT = 4
_PATHS = ("/safe/x", "/unsafe/x", "/stream/x", "/once/x")
_ROUNDS_COUNT = 5
_starting = lock.BoundedSemaphore()
"""The interpreter is patched for the whole process."""


class MixedCase(builders_paths.PathCase):
    """Gateways of two builds."""

    def start(
        self, vm_id: str = "entry-0", **changes: object
    ) -> processes.Process:
        """Starts a gateway of the build that its name stands for."""
        with _starting, mixed_builds.patch_python(vm_id):
            return super().start(vm_id, **changes)


class HandoverUpgradeTest(MixedCase):
    """Every second gateway runs the other build, which may not hand over."""

    def test_this_build_is_served_beside_the_other_one(self) -> None:
        """Guards against requests lost at gateways that can't help."""
        self.start_gateways(_GATEWAYS_COUNT)
        self.call_all(range(_GATEWAYS_COUNT), _PATHS, 1)
        self.cut([0, 1], "refuse")
        self.call_all([0, 1], _PATHS, 3)
        tried = self.call_all(range(_GATEWAYS_COUNT), _PATHS, _ROUNDS_COUNT)
        for number in (0, 2, 3):
            self.assertEqual(builders_paths.served_share(tried[number]), 1.0)
        ran = {
            run["id"]
            for server in (self.plain, *self.decodes)
            for run in server.runs
        }
        refused = {one.request_id for one in tried[1] if one.status == 503}
        self.assertFalse(ran & refused)


class StreamUpgradeTest(MixedCase, test_stream_versions.VersionCase):
    """Every second gateway runs the other build, which may keep no versions."""

    gateways_count = _GATEWAYS_COUNT

    def test_streams_keep_their_version_beside_the_other_build(self) -> None:
        """Guards against a stream that the other build lets go on anywhere."""
        for engine in self.decodes:
            engine.faults = {"pause_s": 0.1}
        for is_cut in (False, True):
            if is_cut:
                self.cut([0], "refuse")
                self.call_all([0], ("/stream/x",), 10)
            went_on_count = 0
            for number in range(_ROUNDS_COUNT):
                name = f"begun-{is_cut}-{number}"
                self.begin(2, name)
                (begun, _) = self.runs()[-1]
                fields = f"resumes: {name}\r\nlast-event-id: 2\r\n"
                got = self.stream(0, f"next-{is_cut}-{number}", fields)
                if got.status == 200:
                    went_on_count += 1
                    self.assertEqual(self.runs()[-1], (begun, "2"))
            self.assertGreater(went_on_count, _ROUNDS_COUNT // 2)
