use percent_encoding::percent_decode_str;

/// A normalized path, as it is matched against routes and sent to the backend
/// server.
///
/// Percent escapes of characters that need none are decoded, `.` and `..`
/// segments are resolved, and empty segments are removed. A path that servers
/// may interpret in different ways is rejected: one with an escaped `/`, a `\`,
/// a control character such as NUL, invalid UTF-8, or `..` above the root.
///
/// # Example
///
/// ```
/// use mangostep_objects::NormalPath;
///
/// let path = NormalPath::parse("/open/%2e%2e//closed/").unwrap();
/// assert_eq!(path.as_str(), "/closed/");
/// assert!(NormalPath::parse("/a%2fb").is_none());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NormalPath(String);

impl NormalPath {
    /// Normalizes the path component of a request target; `None` if it is not
    /// an absolute path or is ambiguous.
    pub fn parse(raw: &str) -> Option<Self> {
        if !raw.starts_with('/') || raw.contains(['\\', '?', '#']) {
            return None;
        }
        let mut segments: Vec<String> = Vec::new();
        let mut ends_with_slash = false;
        for raw_segment in raw[1..].split('/') {
            let segment = normalize_segment(raw_segment)?;
            ends_with_slash = matches!(segment.as_str(), "" | "." | "..");
            match segment.as_str() {
                "" | "." => {}
                ".." => {
                    segments.pop()?;
                }
                _ => segments.push(segment),
            }
        }
        let mut path = String::with_capacity(raw.len());
        for segment in &segments {
            path.push('/');
            path.push_str(segment);
        }
        if ends_with_slash || path.is_empty() {
            path.push('/');
        }
        Some(NormalPath(path))
    }

    /// The normalized path, which starts with `/`.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether the segments of `prefix` are the first segments of this
    /// path.
    pub fn is_under(&self, prefix: &str) -> bool {
        let prefix = prefix.trim_end_matches('/');
        match self.0.strip_prefix(prefix) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }
}

fn normalize_segment(raw: &str) -> Option<String> {
    let decoded = percent_decode_str(raw).decode_utf8().ok()?;
    if decoded
        .chars()
        .any(|c| c.is_control() || matches!(c, '/' | '\\'))
    {
        return None;
    }
    let mut segment = String::with_capacity(raw.len());
    for byte in decoded.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte) {
            segment.push(char::from(byte));
        } else {
            segment.push_str(&format!("%{byte:02X}"));
        }
    }
    Some(segment)
}

/// Normalizes a host name for matching against routes.
///
/// Removes the port, the brackets of an IPv6 address and trailing dots, and
/// converts letters to lower case.
pub fn normalize_host(raw: &str) -> String {
    let name = match raw.strip_prefix('[') {
        Some(rest) => rest.split(']').next().unwrap_or(rest),
        None => raw.split(':').next().unwrap_or(raw),
    };
    name.trim_end_matches('.').to_ascii_lowercase()
}
