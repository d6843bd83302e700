"""Values that have other names in a stored snapshot than in the model.

Separate from `schema.py`, so that a node without a snapshot folder does not load the encoder.
"""

from pierglade.model.request import Idempotency

# The stored name of each idempotency of a request class.
STORED_IDEMPOTENCY = {
    Idempotency.SAFE: "harmless",
    Idempotency.KEYED: "stamped",
    Idempotency.UNSAFE: "one-shot",
}
