"""Keys of the store under which the instances keep what they share."""

STORE_PREFIX = "tanagerwalk/"
FLEET_KEY_NAME = STORE_PREFIX + "fleet-key"
PEER_PREFIX = STORE_PREFIX + "instance/"
ROLLOUT_PREFIX = STORE_PREFIX + "rollout/"
READ_PREFIXES = (FLEET_KEY_NAME, PEER_PREFIX, ROLLOUT_PREFIX)
