//! Keyed actions: at most one run of a non-idempotent request, decided by its key's owner.
