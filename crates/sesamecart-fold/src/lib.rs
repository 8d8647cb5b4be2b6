//! The pure fold over the platform's log: records, verdicts, checkpoints and audit.
