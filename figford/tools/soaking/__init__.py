"""A long randomised run of the decisions under a virtual clock."""
