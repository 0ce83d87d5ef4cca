//! Limits of what a message may hold. They bound the memory that one message
//! can claim and are far above what instances send.

/// Longest name of a service, endpoint, instance, zone, class or tenant, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Longest key of work, in bytes.
pub const MAX_KEY_BYTES: usize = 4096;
/// Longest HTTP method, in bytes.
pub const MAX_METHOD_BYTES: usize = 32;
/// Longest path with query, in bytes.
pub const MAX_PATH_BYTES: usize = 16 * 1024;
/// Longest media type, in bytes.
pub const MAX_CONTENT_TYPE_BYTES: usize = 256;
/// Longest body of a request or an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Longest value of a stored row, in bytes.
pub const MAX_ROW_BYTES: usize = 16 * 1024 * 1024;
/// Most signs of crashes in a message.
pub const MAX_SIGNS: usize = 1024;
/// Most rows in a message.
pub const MAX_ROWS: usize = 65_536;
/// Most requests in a handover.
pub const MAX_KNOWN_REQUESTS: usize = 1 << 20;
/// Most hot keys or shards in a load report.
pub const MAX_LOADS: usize = 65_536;
/// Most control messages in one call.
pub const MAX_BATCH: usize = 1024;
