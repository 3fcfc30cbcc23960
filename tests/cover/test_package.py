"""Checks that the installed package can be imported."""

import importlib

from testtools import TestCase


class PackageTest(TestCase):
    """Guards against a broken installation."""

    def test_import(self):
        module = importlib.import_module("jayvalve")
        self.assertIn("agent programs", module.__doc__)
