//! Bounds the number of tenants in the metrics.

use std::sync::{Mutex, PoisonError};

use indexmap::IndexSet;

/// Most tenants that have metrics of their own.
pub const MAX_TENANTS: usize = 64;

/// Longest name of a tenant that has metrics of its own, in bytes.
pub const MAX_TENANT_LENGTH: usize = 64;

/// Label of all tenants beyond the bound.
pub const OTHER_TENANTS: &str = "other";

/// Label of callers that name no tenant.
pub const NO_TENANT: &str = "none";

/// Tenants that have metrics of their own: the first ones seen.
#[derive(Debug)]
pub struct TenantNames {
    most: usize,
    known: Mutex<IndexSet<String>>,
}

impl TenantNames {
    /// Knows no tenant yet and will know `most`.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            most,
            known: Mutex::default(),
        }
    }

    /// Label for a tenant as its caller names it.
    ///
    /// Failure: a caller sends a new tenant with each request, the metrics grow
    /// without end and the process dies of memory. The set stops growing at its
    /// bound, and long names are never kept.
    #[must_use]
    pub fn label(&self, tenant: &str) -> String {
        if tenant.is_empty() {
            return NO_TENANT.to_owned();
        }
        if tenant.len() > MAX_TENANT_LENGTH {
            return OTHER_TENANTS.to_owned();
        }
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.contains(tenant) {
            return tenant.to_owned();
        }
        if known.len() >= self.most {
            return OTHER_TENANTS.to_owned();
        }
        known.insert(tenant.to_owned());
        tenant.to_owned()
    }
}

impl Default for TenantNames {
    fn default() -> Self {
        Self::new(MAX_TENANTS)
    }
}
