"""What nodes say of their load to one another, where their network lets them: pure, no sockets, no clock.

words    a datagram of at most 256 bytes, and what may stand in one
held     what the others have at each server, from what they last said, for as long as it counts
"""

from .load_report import Saying, parse, word
from .remote_load import Held, Own

__all__ = ["Held", "Own", "Saying", "parse", "word"]
