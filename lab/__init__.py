"""The test bench: real proxy processes under load with injected faults, and checkers of their behaviour."""
