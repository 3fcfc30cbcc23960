"""Removes the keys of organisations from configurations that other gateways receive.

A gateway that cannot reach the store gets the configuration through another one. It receives
digests of the keys, which suffice to check requests.
"""

import base64
import json

import attrs

from jayvalve.internal.malformed import MALFORMED_ERRORS
from jayvalve.platform import names
from jayvalve.platform.records import without_keys
from jayvalve.platform.store import decode_keyed, decode_page, encode_keyed, encode_page

__all__ = ["redact_answer", "redact_value"]


def redact_value(topic: str, key: str, value: bytes) -> bytes:
    """Return a value of a topic without keys of organisations."""
    is_configuration = topic == names.CONFIG_TOPIC and key == names.CONFIG_KEY
    return without_keys(value) if is_configuration and value else value


def redact_answer(path: str, topic: str, answer: bytes) -> bytes:
    """Return the store's successful answer to a call without keys of organisations.

    Raises:
        ValueError: The answer is malformed.

    """
    if topic != names.CONFIG_TOPIC:
        return answer
    try:
        if path == names.READ_PATH:
            page = decode_page(answer, 0)
            records = tuple(_redact_record(topic, record) for record in page.records)
            return encode_page(attrs.evolve(page, records=records))
        if path == names.NEWEST_PATH:
            document = json.loads(answer)
            for item in document["items"]:
                value = redact_value(topic, item["key"], base64.b64decode(item["value"]))
                item["value"] = base64.b64encode(value).decode()
            return json.dumps(document).encode()
    except MALFORMED_ERRORS as error:
        # The text of the error may contain a key.
        raise ValueError(f"malformed answer: {type(error).__name__}") from None
    return answer


def _redact_record(topic: str, record: bytes) -> bytes:
    try:
        keyed = decode_keyed(record)
    except ValueError:
        # Without a key, it is no configuration, and no reader uses it.
        return b""
    return encode_keyed(keyed.key, redact_value(topic, keyed.key, keyed.value or b""))
