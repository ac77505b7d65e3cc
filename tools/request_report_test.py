"""Test of tools/request_report: the counts of a log with one request of each kind."""

import importlib.machinery
import importlib.util
import os
import sys
import unittest

sys.dont_write_bytecode = True
LOADER = importlib.machinery.SourceFileLoader(
    "request_report", os.path.join(os.path.dirname(os.path.abspath(__file__)), "request_report"))
report = importlib.util.module_from_spec(importlib.util.spec_from_loader("request_report", LOADER))
LOADER.exec_module(report)

LOG = """\
not a log line request=r0
I 10.000 place: sent request=r1 route=drafts organisation=north rank=1 session= server=a send=1
I 10.400 policy: answer dropped request=r1 organisation=north rank=1 model=s confidence=1 asked=65 pressure=1.20
I 10.401 place: sent request=r1 route=drafts organisation=north rank=1 session= server=b send=2
I 11.000 entry: ended request=r1 how=served organisation=north rank=1 sends=2 first_event_ms=900 last_event=7 ms=1000
I 10.000 place: sent request=r2 route=drafts organisation=south rank=1 session= server=b send=1
I 10.500 place: attempt lost request=r2 print=0 server=b detail=read: rank=7 organisation=none
I 13.000 entry: ended request=r2 how=served organisation=south rank=1 sends=1 first_event_ms=0 last_event=-1 ms=3000
I 10.000 place: sent request=r3 route=plain rank=0 session= server=b send=1
I 10.100 entry: ended request=r3 how=outcome_unknown rank=0 sends=1 first_event_ms=0 last_event=-1 ms=100
I 10.100 entry: refused request=r4 why=shutting_down organisation=north rank=1
I 10.100 entry: refused request=- why=not_ready
I 10.100 entry: refused request=- why=not_ready
I 10.000 place: sent request=r5 route=plain rank=0 session= server=a send=1
"""


class ReportTest(unittest.TestCase):
    def setUp(self):
        self.requests = {}
        report.read(LOG.splitlines(True), "host-1", self.requests)

    def row(self, key, name, targets):
        found = [one for one in self.requests.values() if one.fields[key] == name]
        return dict(zip(report.COLUMNS, report.row_of(found, targets)))

    def test_requests_are_counted_by_their_end(self):
        # Guards against a kind of end that is left out: the counts must add up to the requests.
        row = self.row("entry", "host-1", {"drafts": 2000})
        self.assertEqual(row["requests"], 7)
        self.assertEqual((row["served"], row["refused"], row["failed"], row["open"]), (2, 3, 1, 1))
        self.assertEqual((row["in time"], row["late"]), (1, 1))
        self.assertEqual((row["sent twice"], row["dropped"]), (1, 1))
        self.assertEqual((row["wait mean"], row["wait p95"]), (1950, 3000))

    def test_rows_are_those_of_the_key(self):
        # Guards against rows that take a field of one request for that of another.
        self.assertEqual(self.row("organisation", "north", {})["requests"], 2)
        # A text at the end of a line may look like a field.
        self.assertEqual(self.row("organisation", "south", {})["requests"], 1)
        self.assertEqual(self.row("server", "b", {})["requests"], 3)
        self.assertEqual(self.row("route", "drafts", {})["in time"], "-")
        text = report.table("rank", list(self.requests.values()), {}, 1)
        self.assertEqual(text.splitlines()[1].split()[:2], ["1", "3"])
        self.assertIn("2 others", text)


if __name__ == "__main__":
    unittest.main()
