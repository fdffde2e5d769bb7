"""`python -m hollybay.cli`: equivalent to the command `hollybay`."""

from .main import main

if __name__ == "__main__":
    main()
