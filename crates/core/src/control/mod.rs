//! State machine of the control group: bundle revisions, placement, leases.
