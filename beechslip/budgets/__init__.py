"""Fleet-wide limits divided among the proxies.

The parts are divided anew as proxies come and go, and never sum to more than the limit.
"""
