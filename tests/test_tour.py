"""The tour replaces only its own folder and gives each stand-in its own addresses."""

import tempfile
import unittest
from pathlib import Path

import typer

from wasabigw_demo import _tour_addresses, tour


class Folders(unittest.TestCase):
    """Guards against a tour that deletes files of the user."""

    def test_only_the_folder_of_an_earlier_tour_is_replaced(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            tour_folder = Path(name) / "own"
            tour_folder.mkdir()
            (tour_folder / "letter.txt").touch()
            with self.assertRaises(typer.Exit):
                tour._create_folder(tour_folder)
            self.assertTrue((tour_folder / "letter.txt").exists())
            (tour_folder / _tour_addresses.ADDRESS_FILE).touch()
            tour._create_folder(tour_folder)
            self.assertEqual(list(tour_folder.iterdir()), [])


class Addresses(unittest.TestCase):
    """Guards against two stand-ins that use the same address at the same time."""

    def test_each_address_is_claimed_once(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            addresses = _tour_addresses.make_addresses(tour._tour_layout(folder))
            _tour_addresses.write_addresses(addresses, folder)
            self.assertEqual(_tour_addresses.read_addresses(folder), addresses)
            claimed = [
                _tour_addresses.claim_server(addresses, folder)
                for _ in range(tour.MAX_SERVERS)
            ]
            self.assertEqual(set(claimed), set(addresses.servers))
            self.assertIsNone(_tour_addresses.claim_server(addresses, folder))
