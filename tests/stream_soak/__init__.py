"""A soak of event streams: a fleet's processes on loopback, upstreams that break off at any byte, one judge.

By hand: `python -m tests.stream_soak --seeds 50`; `--checkout DIR` runs the programs of another checkout.
"""
