"""The DNS front. Lookups are answered by the same decisions, under the same rules, as HTTP requests."""
