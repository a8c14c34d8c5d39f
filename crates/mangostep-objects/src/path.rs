use percent_encoding::percent_decode_str;

/// A path as the backend server will get it, fit for matching.
///
/// Percent escapes of unreserved characters are decoded, `.` and `..`
/// segments resolved, and empty segments dropped. What cannot be resolved
/// without doubt (an escaped `/`, `\`, NUL, or `..` above the root) gives no
/// path at all.
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
    /// Normalises the path part of a request target.
    pub fn parse(raw: &str) -> Option<Self> {
        if !raw.starts_with('/') || raw.contains(['\\', '?', '#']) {
            return None;
        }
        let mut segments: Vec<String> = Vec::new();
        let mut trailing = false;
        for part in raw[1..].split('/') {
            let segment = normalize_segment(part)?;
            trailing = matches!(segment.as_str(), "" | "." | "..");
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
        if trailing || path.is_empty() {
            path.push('/');
        }
        Some(NormalPath(path))
    }

    /// The path, which starts with `/`.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Tells whether `prefix` covers this path by whole segments.
    pub fn is_under(&self, prefix: &str) -> bool {
        let prefix = prefix.trim_end_matches('/');
        match self.0.strip_prefix(prefix) {
            Some(rest) => rest.is_empty() || rest.starts_with('/'),
            None => false,
        }
    }
}

fn normalize_segment(part: &str) -> Option<String> {
    let decoded = percent_decode_str(part).decode_utf8().ok()?;
    if decoded
        .chars()
        .any(|c| c.is_control() || matches!(c, '/' | '\\'))
    {
        return None;
    }
    let mut out = String::with_capacity(part.len());
    for byte in decoded.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=:@".contains(&byte) {
            out.push(char::from(byte));
        } else {
            out.push_str(&format!("%{byte:02X}"));
        }
    }
    Some(out)
}

/// Brings a host name to the form that routes are matched on.
///
/// The port and a trailing dot are dropped, and letters made lower case.
pub fn normalize_host(raw: &str) -> String {
    let name = match raw.strip_prefix('[') {
        Some(rest) => rest.split(']').next().unwrap_or(rest),
        None => raw.split(':').next().unwrap_or(raw),
    };
    name.trim_end_matches('.').to_ascii_lowercase()
}
