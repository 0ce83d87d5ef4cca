//! Command line of the tour.

use bpaf::Bpaf;

/// Shows a small deployment under losses and pauses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Bpaf)]
#[bpaf(generate(tour_options))]
pub struct TourOptions {
    /// Keeps settings, logs and journals, and says where
    pub keep_files: bool,
}
