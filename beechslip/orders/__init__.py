"""Operators' orders over many instances, which survive the exit of the agent that runs them.

The store keeps their state; the code that decides on them does no I/O.
"""
