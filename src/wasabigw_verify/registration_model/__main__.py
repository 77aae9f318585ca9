"""Command of the model: ``python -m wasabigw_verify.registration_model``."""

import sys

from wasabigw_verify.registration_model.runs import search

if __name__ == "__main__":
    search(int(sys.argv[1]), int(sys.argv[2]))
    sys.stdout.write(f"{sys.argv[1]} examples, seed {sys.argv[2]}: no violation\n")
