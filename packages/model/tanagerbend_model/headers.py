"""Names of the HTTP headers of the call path."""

from typing import Final

SERVICE: Final = 'Tanagerbend-Service'
TENANT: Final = 'Tanagerbend-Tenant'
RANK: Final = 'Tanagerbend-Rank'
DEADLINE_MS: Final = 'Tanagerbend-Deadline-Ms'
HOPS: Final = 'Tanagerbend-Hops'
REQUEST_ID: Final = 'Tanagerbend-Request-Id'
VERSION: Final = 'Tanagerbend-Version'
ORDER_KEY: Final = 'Idempotency-Key'
RESULT: Final = 'Tanagerbend-Result'
RAN: Final = 'Tanagerbend-Ran'
LOAD: Final = 'Tanagerbend-Load'
# Sent by an entry daemon to the owner daemon: the chosen instance, and the
# proof that the sender is a peer of the deployment.
INSTANCE: Final = 'Tanagerbend-Instance'
PEER_PROOF: Final = 'Tanagerbend-Peer-Proof'
# New order key in the refusal of an order.
FRESH_ORDER_KEY: Final = 'Tanagerbend-Order-Key'
# Daemon that decided on an order, as `host/incarnation`.
ORDER_OWNER: Final = 'Tanagerbend-Order-Owner'
# Host of the daemon that forwarded a call.
SENDER: Final = 'Tanagerbend-Sender'
