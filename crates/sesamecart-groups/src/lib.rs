//! Serving groups: completeness, repair, fenced orders and weight loads.
