"""The tour starts where it may and gives each stand-in a place of its own."""

import tempfile
import unittest
from pathlib import Path

import typer

from wasabigw_demo import _tour_places, tour


class Folders(unittest.TestCase):
    """Guards against a tour that deletes files that are not its own."""

    def test_only_the_folder_of_an_earlier_tour_is_emptied(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            own = Path(name) / "own"
            own.mkdir()
            (own / "letter.txt").touch()
            with self.assertRaises(typer.Exit):
                tour._empty(own)
            self.assertTrue((own / "letter.txt").exists())
            (own / _tour_places.FILE).touch()
            tour._empty(own)
            self.assertEqual(list(own.iterdir()), [])


class Places(unittest.TestCase):
    """Guards against two stand-ins that take one address at the same time."""

    def test_each_place_is_given_once(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            places = _tour_places.places_of(tour._tour_layout(folder))
            _tour_places.write_places(places, folder)
            self.assertEqual(_tour_places.read_places(folder), places)
            taken = [
                _tour_places.claim_server(places, folder)
                for _ in range(tour.SERVER_PLACES)
            ]
            self.assertEqual(set(taken), set(places.servers))
            self.assertIsNone(_tour_places.claim_server(places, folder))
