"""Tests of the capacity measurement."""

import json
import pathlib
import tempfile

from testtools import TestCase

from jayvalve.internal.measure.capacity import run_capacity
from jayvalve.internal.measure.capacity.bench import Row, fit_rows


class FitTest(TestCase):
    """Least-squares fits of rows."""

    def test_exact_line(self):
        """Guards against swapped axes and a nonzero slope error on an exact line."""
        (fit,) = fit_rows([Row("m", size, 3 * size + 7, "s") for size in (1, 2, 4, 8)])
        self.assertAlmostEqual(3.0, fit.slope)
        self.assertAlmostEqual(7.0, fit.intercept)
        self.assertAlmostEqual(0.0, fit.slope_error)

    def test_error_of_slope(self):
        """Guards against a slope error other than the standard error, computed here by hand."""
        values = (0.0, 2.0, 1.0, 3.0)
        (fit,) = fit_rows([Row("m", size, value, "s") for size, value in enumerate(values)])
        self.assertAlmostEqual(0.8, fit.slope)
        self.assertAlmostEqual((1.8 / 2 / 5) ** 0.5, fit.slope_error)

    def test_too_few_sizes(self):
        """Guards against fitting a line through fewer than four distinct sizes."""
        self.assertEqual([], fit_rows([Row("m", size, 1.0, "s") for size in (1, 2, 3, 3)]))


class RunTest(TestCase):
    """A quick run of all benches."""

    def test_quick_run_measures_each_slope(self):
        """Guards against failed or missing benches, too few sizes, lost members and heartbeats."""
        with tempfile.TemporaryDirectory() as directory:
            output = pathlib.Path(directory) / "capacity.json"
            run_capacity(1, str(output), quick=True)
            result = json.loads(output.read_text(encoding="utf-8"))
        self.assertEqual("capacity", result["experiment"])
        rows = {}
        for row in result["rows"]:
            rows.setdefault(row["metric"], []).append(row["value"])
        self.assertEqual(rows.keys(), {fit["metric"] for fit in result["fits"]})
        wanted = {
            "owner_memory_per_program",
            "owner_cpu_per_turn",
            "copy_bytes_per_history_token",
            "lookup_messages",
            "route_cpu_per_endpoint",
            "first_token_check_cpu_per_caller",
            "bytes_per_configuration_change",
            "log_appends_per_claim_rate",
            "log_poll_bytes",
            "connection_memory_accepting_end",
            "peer_heartbeat_bytes_per_s",
            "entry_cpu_single_calls",
            "entry_cpu_streamed_tokens",
            "entry_cpu_call_by_history_tokens",
            "permit_cpu",
            "limit_notice_bytes",
            "crash_record_memory",
            "origin_search_cpu",
        }
        self.assertEqual(set(), wanted - rows.keys())
        self.assertTrue(all(share == 1.0 for share in rows["peer_live_share"]))
        self.assertTrue(all(value > 0 for value in rows["peer_heartbeat_bytes_per_s"]))
