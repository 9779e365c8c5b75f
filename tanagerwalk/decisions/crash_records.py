"""What is known of crashes, of requests and of parts that prompts share."""

from .part_records import is_part_key


class CrashRecords:
    """The records of both kinds by one key, as the instances tell them each other.

    Parameters
    ----------
    requests : Quarantine
        Crashes of whole requests, by Fingerprint.
    parts : PartQuarantine
        Crashes of parts, by PartKey.
    """

    def __init__(self, requests, parts):
        self._requests = requests
        self._parts = parts

    def find_record(self, key, now):
        """Return the CrashRecord or PartRecord of a key, or None."""
        return self._get_book(key).find_record(key, now)

    def merge_record(self, key, record, now):
        """Merge a record of another instance; return whether it is news for others."""
        return self._get_book(key).merge_record(key, record, now)

    def list_repeated(self, now):
        """Return the keys that instances which start later should hear of."""
        return self._requests.list_repeated(now) + self._parts.list_repeated(now)

    def _get_book(self, key):
        return self._parts if is_part_key(key) else self._requests
