"""The project's own stand-in of the upstreams, with longer streams.

Arguments: the number of engines, the events of a stream, the seconds between
two of them, and then the arguments of the stand-in itself.
"""

import sys

from figford.tests.platform import standin

engines, events, interval, *rest = sys.argv[1:]
standin.ENGINE_COUNT = int(engines)
standin.EVENTS_PER_STREAM = int(events)
standin.EVENT_INTERVAL_SECONDS = float(interval)
standin.main(rest)
