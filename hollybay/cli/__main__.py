"""`python -m hollybay.cli`: the same as the command `hollybay`."""

from .main import main

if __name__ == "__main__":
    main()
