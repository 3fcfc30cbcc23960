"""Distribution of keys over the partitions of several topics.

A process reads a whole partition to find the records of one key. Many partitions keep such reads
short.
"""

import attrs

from jayvalve.internal.hashing import partition

__all__ = ["Partition", "PartitionMap"]


@attrs.frozen
class Partition:
    """One partition of a topic."""

    topic: str
    index: int


@attrs.frozen
class PartitionMap:
    """Maps keys to partitions.

    Attributes:
        prefix: Common prefix of the topic names.
        topics: Number of topics.
        per_topic: Number of partitions in each topic.

    """

    prefix: str
    topics: int
    per_topic: int

    @property
    def total(self) -> int:
        """Number of partitions in all topics."""
        return self.topics * self.per_topic

    @property
    def places(self) -> tuple[Partition, ...]:
        """All partitions."""
        return tuple(
            Partition(f"{self.prefix}{topic}", index)
            for topic in range(self.topics)
            for index in range(self.per_topic)
        )

    def of(self, key: str, choice: int = 0) -> Partition:
        """Return the partition of a key.

        Choice 0 is the key's first partition. Each other choice is a partition that differs from
        the first one if there is more than one. The records of a key can therefore be split
        between two partitions, or go to the other one while the first one is unavailable.
        """
        index = partition(key, self.total)
        if choice and self.total > 1:
            index = (index + 1 + partition(f"{key}/{choice}", self.total - 1)) % self.total
        return Partition(f"{self.prefix}{index // self.per_topic}", index % self.per_topic)
