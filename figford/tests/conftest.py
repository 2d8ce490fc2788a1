"""Hypothesis profile of all tests: the same examples in every run.

Examples have no deadline.
"""

import hypothesis

hypothesis.settings.register_profile("same", derandomize=True, deadline=None)
hypothesis.settings.load_profile("same")
