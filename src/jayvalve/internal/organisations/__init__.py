"""Organisations that callers belong to, their keys, and the scope of their ids."""

from jayvalve.internal.organisations.keys import KeyTable, Organisation, bearer_token, key_digest
from jayvalve.internal.organisations.scope import plain_id, scoped_id

__all__ = ["KeyTable", "Organisation", "bearer_token", "key_digest", "plain_id", "scoped_id"]
