"""Names of the platform's headers, store topics and calls."""

from typing import Final

__all__ = [
    "ATTEMPT_ID",
    "AUTHORIZATION",
    "CONFIG_KEY",
    "CONFIG_TOPIC",
    "DEADLINE_MS",
    "ENGINES_TOPIC",
    "EXPECTED_INSTANCE",
    "INSTANCE_ID",
    "LAST_EVENT_ID",
    "NEWEST_PATH",
    "NOT_EXECUTED",
    "PEERS_TOPIC",
    "PREFIX",
    "PREVIOUS_TURN",
    "PROGRAM_DEADLINE_MS",
    "PROGRAM_ID",
    "READINESS_PATH",
    "READ_PATH",
    "RESUMES",
    "REQUEST_PRIORITY",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "SIGNATURE",
    "STRIPPED_HEADERS",
    "TENANT",
    "TOKEN_BUDGET",
    "TOKEN_USAGE",
    "TOPIC_LIMIT",
    "WEIGHT_VERSIONS",
]

ATTEMPT_ID: Final = "X-Jayvalve-Attempt-Id"
SIGNATURE: Final = "X-Jayvalve-Server-Signature"
NOT_EXECUTED: Final = "X-Jayvalve-Not-Executed"
SERVER_LEAVING: Final = "Server-Leaving"
SERVER_LIMIT: Final = "Server-Limit"
DEADLINE_MS: Final = "X-Jayvalve-Deadline-Ms"
EXPECTED_INSTANCE: Final = "X-Jayvalve-Expected-Instance"
INSTANCE_ID: Final = "X-Jayvalve-Instance-Id"
WEIGHT_VERSIONS: Final = "X-Jayvalve-Weight-Versions"
PROGRAM_ID: Final = "X-Jayvalve-Program-Id"
PROGRAM_DEADLINE_MS: Final = "X-Jayvalve-Program-Deadline-Ms"
TOKEN_BUDGET: Final = "X-Jayvalve-Token-Budget"
TOKEN_USAGE: Final = "X-Jayvalve-Token-Usage"
PREFIX: Final = "X-Jayvalve-Prompt-Prefix"
PREVIOUS_TURN: Final = "X-Jayvalve-Previous-Turn"
REQUEST_PRIORITY: Final = "X-Jayvalve-Request-Priority"
LAST_EVENT_ID: Final = "Last-Event-Id"
# The attempt that brought the first event of the stream, not the one that broke off last.
RESUMES: Final = "Resumes"
AUTHORIZATION: Final = "Authorization"
TENANT: Final = "X-Jayvalve-Tenant"

# Calls of the store that return records.
READ_PATH: Final = "/api/log-read"
NEWEST_PATH: Final = "/api/log-newest"

READINESS_PATH: Final = "/api/readiness"

# Topics with the records of the operator, of the engines and of the gateways.
CONFIG_TOPIC: Final = "keyed.op"
CONFIG_KEY: Final = "config"
ENGINES_TOPIC: Final = "keyed.servers"
PEERS_TOPIC: Final = "keyed.status"

# The store accepts at most 100 topics. The three above are among them, which leaves this many for
# budgets and turns.
TOPIC_LIMIT: Final = 97

# Hop-by-hop headers, and headers that only the gateway may set. They are not passed on.
STRIPPED_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
        DEADLINE_MS,
        EXPECTED_INSTANCE,
        REQUEST_PRIORITY,
        TENANT,
        "X-Jayvalve-Expected-Version",
        "X-Jayvalve-Retain",
        "X-Jayvalve-Pin-Ms",
        "X-Jayvalve-Kv-Backup",
        "Kv-Fetch",
        "Kv-From",
    )
)
