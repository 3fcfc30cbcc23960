"""Checks of what an entry knows about endpoints."""

from testtools import TestCase

from jayvalve.errors import ModelUnknownError, NoEndpointError, ServiceUnknownError
from jayvalve.internal.configuration import Document
from jayvalve.internal.entry.endpoints import EndpointDirectory
from jayvalve.internal.limits import OutlierDetector
from jayvalve.internal.membership import MembershipView
from jayvalve.internal.timing import ManualClock
from jayvalve.internal.wire.messages import Hello

DOCUMENT = {
    "inventory": {
        "endpoints": [
            {
                "name": "engine-1",
                "address": "127.0.0.1:7001",
                "data_centre": "turin",
                "role": "model",
                "models": [{"name": "writer"}],
            }
        ]
    }
}


class EndpointDirectoryTest(TestCase):
    """Guards the difference between unknown and not known yet."""

    def build(self):
        identity = Hello("entry-1", 1, "entry", "turin", "127.0.0.1:7000")
        view = MembershipView(identity)
        return EndpointDirectory(view, OutlierDetector(), "jayvalve", "turin", ManualClock())

    def test_an_entry_without_inventory_does_not_deny_models(self):
        """A restarted entry answered forwarded calls with model_unknown."""
        directory = self.build()
        error = self.assertRaises(NoEndpointError, directory.check_model, "writer")
        self.assertIsNotNone(error.retry_after_s)
        self.assertRaises(NoEndpointError, directory.service, "fees")

    def test_what_the_inventory_does_not_list_is_unknown(self):
        directory = self.build()
        directory.set_document(Document.from_value(DOCUMENT))
        directory.check_model("writer")
        self.assertRaises(ModelUnknownError, directory.check_model, "reader")
        self.assertRaises(ServiceUnknownError, directory.service, "fees")
