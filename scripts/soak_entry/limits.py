"""A limit on the processor time of a process under test."""

import signal
import threading
import time

PERIOD_S = 0.2


class ProcessorLimit:
    """Lets the process of a node run for a share of each period, from a thread of its own."""

    def __init__(self, node, share):
        self.node, self.share = node, share
        self.ending = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)

    def _run(self):
        while not self.ending.wait(PERIOD_S * self.share):
            self._signal(signal.SIGSTOP)
            time.sleep(PERIOD_S * (1 - self.share))
            self._signal(signal.SIGCONT)

    def _signal(self, number):
        try:
            self.node.signal(number)
        except ProcessLookupError:
            self.ending.set()

    def __enter__(self):
        if self.share < 1:
            self.thread.start()
        return self

    def __exit__(self, *_):
        self.ending.set()
        if self.thread.is_alive():
            self.thread.join()
        self._signal(signal.SIGCONT)
