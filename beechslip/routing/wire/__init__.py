"""The simulator's wire format "shale-2b2b": reads JSON messages as events and settings, and writes actions.

Source: the page WIRE of the project's documents. This package makes no routing decisions.
"""
