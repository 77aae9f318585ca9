"""HTTP session to another process of the system."""

import requests

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.tasks.request_numbers import make_session


class PeerSession:
    """HTTP session that is opened on first use; its owner closes it after a failure.

    A connection whose peer has vanished may never answer again, so the next attempt
    needs a new one.
    """

    def __init__(self) -> None:
        self._session: requests.Session | None = None

    def open(self) -> requests.Session:
        """Return the session, after opening it if necessary."""
        if self._session is None:
            self._session = make_session()
        return self._session

    def post(
        self,
        server: Endpoint,
        path: str,
        body: bytes,
        connect_timeout: Seconds,
        read_timeout: Seconds,
    ) -> requests.Response:
        """Post a JSON body and return the response.

        :raises requests.RequestException: if there is no response.
        """
        return self.open().post(
            f"http://{server.address}:{server.port}{path}",
            data=body,
            headers={"Content-Type": "application/json"},
            timeout=(connect_timeout, read_timeout),
            allow_redirects=False,
        )

    def close(self) -> None:
        """Close the session if it is open."""
        if self._session is not None:
            self._session.close()
            self._session = None
