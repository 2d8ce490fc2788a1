"""A simulation of a deployment with random faults, in virtual time."""
