"""HTTP session to another process of the system."""

import requests

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds


class PeerSession:
    """Session that is opened when it is needed and closed after a problem.

    A connection may be silent for good, so that the next attempt needs a new one.
    """

    def __init__(self) -> None:
        self._session: requests.Session | None = None

    def open(self) -> requests.Session:
        """The open session, a new one if there is none."""
        if self._session is None:
            self._session = requests.Session()
            # Proxies and credentials of the environment are not for this traffic.
            self._session.trust_env = False
        return self._session

    def post(
        self,
        server: Endpoint,
        path: str,
        body: bytes,
        connect_timeout: Seconds,
        read_timeout: Seconds,
    ) -> requests.Response:
        """Answer to a JSON body.

        :raises requests.RequestException: if there is none.
        """
        return self.open().post(
            f"http://{server.address}:{server.port}{path}",
            data=body,
            headers={"Content-Type": "application/json"},
            timeout=(connect_timeout, read_timeout),
            allow_redirects=False,
        )

    def close(self) -> None:
        """Close the session, if it is open."""
        if self._session is not None:
            self._session.close()
            self._session = None
