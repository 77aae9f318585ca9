"""Order of the starts of processes that share a VM."""

import socket
import time

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds

CHECK_INTERVAL = Seconds(0.03)


def wait_for_listener(endpoint: Endpoint, timeout: Seconds) -> bool:
    """Wait until another process of this VM listens; ``False`` if it does not in time.

    :param timeout: longest wait.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        try:
            socket.create_connection(
                (endpoint.address, endpoint.port), CHECK_INTERVAL
            ).close()
        except OSError:
            time.sleep(CHECK_INTERVAL)
            continue
        return True
    return False
