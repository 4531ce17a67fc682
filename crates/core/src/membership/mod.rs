//! VM membership after the published SWIM, without input or output.
