"""The second front: the same tables as files, a whole generation swapped in by one rename."""
