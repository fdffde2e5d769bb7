"""Named retry budgets: a token bucket per name, filled by requests and drained by retries and hedges."""

from __future__ import annotations

__all__ = ["MAX_BUDGETS", "MAX_TOKENS", "RetryBudgets"]

# The largest number of tokens (retries) in one budget.
MAX_TOKENS = 10.0
# The number of tokens of a new budget.
INITIAL_TOKENS = 1.0
# The largest number of budgets; beyond it the least recently credited one is removed, whose name is probably
# no longer in use.
MAX_BUDGETS = 4096


class RetryBudgets:
    """Retry tokens by budget name.

    Attributes
    ----------
    tokens
        Tokens left by name, in the order of the last deposit.
    """

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens: dict[str, float] = {}

    def deposit(self, name: str, share: float) -> None:
        """Credit a budget for one request.

        Parameters
        ----------
        name
            The budget.
        share
            Tokens that the request adds (retries allowed per request).
        """
        tokens = self.tokens.pop(name, INITIAL_TOKENS) + share
        self.tokens[name] = min(tokens, MAX_TOKENS)
        if len(self.tokens) > MAX_BUDGETS:
            del self.tokens[next(iter(self.tokens))]

    def withdraw(self, name: str) -> bool:
        """Take one token for a retry; False, without taking any, if less than one is left."""
        tokens = self.tokens.get(name, 0.0)
        if tokens < 1.0:
            return False
        self.tokens[name] = tokens - 1.0
        return True
