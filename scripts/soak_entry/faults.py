"""Faults drawn from a seed, in series that overlap."""

import random


class Schedule:
    """What is done to a run, and when. The same seed draws the same faults."""

    def __init__(self, options, seed):
        self.events = []

    async def play(self, site):
        pass
