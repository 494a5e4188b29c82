"""The lab: real doorman processes under load with faults between them, and what is proven of it."""
