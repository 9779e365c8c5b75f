"""Splits a JSON response of the store into its items while it arrives."""

import re

# A value of 1 MiB in base64, with its key and whatever else belongs to an item.
MAX_ITEM_BYTES = 2 * 1024 * 1024
# Longer ones are left out; one that is even longer than this has no end.
MAX_SKIPPED_BYTES = 16 * 1024 * 1024
# More than this beside the items is no response of the store.
MAX_ENVELOPE_BYTES = 64 * 1024
# Items are values in a list of the outermost object.
LIST_DEPTH = 2
OPENING = frozenset(b"{[")
QUOTE = ord('"')
_STRUCTURE = re.compile(rb'["{}\[\]]')
_STRING_MARK = re.compile(rb'["\\]')


class ItemSplitter:
    """Takes the items out of a response of any length, part by part.

    It keeps the item that has not ended yet, and the envelope: the response without
    what its lists contain.

    Attributes
    ----------
    overlong_count : int
        Number of items that were left out because of their size.
    """

    def __init__(self):
        self.overlong_count = 0
        self._envelope = bytearray()
        self._item = bytearray()
        self._item_size = 0
        self._depth = 0
        self._is_in_string = False
        # Whether the next part begins with the second byte of an escape.
        self._is_in_escape = False

    @property
    def envelope(self):
        """The response with empty lists, as bytes."""
        return bytes(self._envelope)

    @property
    def is_plausible(self):
        """Whether the envelope and each item may be those of the store."""
        return (
            len(self._envelope) <= MAX_ENVELOPE_BYTES
            and self._item_size <= MAX_SKIPPED_BYTES
        )

    def feed(self, data):
        """Return the items that end in the next part of the response.

        Parameters
        ----------
        data : bytes
            The part.

        Returns
        -------
        list of bytes
        """
        items = []
        kept_until = 0
        position = 1 if self._is_in_escape and data else 0
        self._is_in_escape = self._is_in_escape and not data
        while (mark := self._find_mark(data, position)) is not None:
            position = mark + 1
            byte = data[mark]
            if self._is_in_string:
                position += self._pass_string_mark(byte)
            elif byte == QUOTE:
                self._is_in_string = True
            elif byte in OPENING:
                kept_until = self._open(data, kept_until, mark)
            else:
                kept_until = self._close(data, kept_until, position, items)
        self._is_in_escape = position > len(data)
        self._keep(data[kept_until:])
        return items

    def _find_mark(self, data, position):
        pattern = _STRING_MARK if self._is_in_string else _STRUCTURE
        match = pattern.search(data, position)
        return None if match is None else match.start()

    def _pass_string_mark(self, byte):
        """Return how many bytes after a quote or a backslash belong to it."""
        if byte == QUOTE:
            self._is_in_string = False
            return 0
        return 1

    def _open(self, data, kept_until, mark):
        """Enter a list or an object; return from where the data isn't kept yet."""
        if self._depth == LIST_DEPTH - 1:
            # The bracket belongs to the envelope.
            mark += 1
        if self._depth <= LIST_DEPTH:
            self._keep(data[kept_until:mark])
            kept_until = mark
        self._depth += 1
        return kept_until

    def _close(self, data, kept_until, position, items):
        """Leave a list or an object; return from where the data isn't kept yet."""
        if self._depth == LIST_DEPTH:
            # The bracket belongs to the envelope.
            self._keep(data[kept_until : position - 1])
            kept_until = position - 1
        elif self._depth == LIST_DEPTH + 1:
            self._keep(data[kept_until:position])
            kept_until = position
            items.extend(self._take_item())
        self._depth -= 1
        return kept_until

    def _keep(self, data):
        """Add bytes to what they belong to; what stands between items is dropped."""
        if self._depth < LIST_DEPTH:
            self._envelope += data
        elif self._depth > LIST_DEPTH:
            self._item_size += len(data)
            if self._item_size <= MAX_ITEM_BYTES:
                self._item += data
            else:
                self._item.clear()

    def _take_item(self):
        """Return a list of the item that has ended, empty if it is too long."""
        item, self._item = bytes(self._item), bytearray()
        size, self._item_size = self._item_size, 0
        if size > MAX_ITEM_BYTES:
            self.overlong_count += 1
            return []
        return [item]
