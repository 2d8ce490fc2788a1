"""Settings of all tests: the same examples in every run, no time bounds."""

import hypothesis

hypothesis.settings.register_profile("same", derandomize=True, deadline=None)
hypothesis.settings.load_profile("same")
