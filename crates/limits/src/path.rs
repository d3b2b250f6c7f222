//! Patterns of request paths.

/// A pattern of paths: segments separated by '/', of which '*' matches any one segment, and '**' at the end any number of
/// segments, including none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    segments: Vec<Segment>,
    /// The pattern ends with '**'.
    any_suffix: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Any,
    Exact(String),
}

impl Segment {
    fn parse(text: &str) -> Option<Segment> {
        match text {
            "*" => Some(Segment::Any),
            _ if text.contains(['*', '?', '#']) => None,
            _ => Some(Segment::Exact(text.to_owned())),
        }
    }

    fn matches(&self, text: &str) -> bool {
        match self {
            Segment::Any => true,
            Segment::Exact(exact) => exact == text,
        }
    }

    fn covers(&self, other: &Segment) -> bool {
        *self == Segment::Any || self == other
    }
}

impl PathPattern {
    /// Parses a pattern; `None` if the text is not a valid one.
    #[must_use]
    pub fn parse(text: &str) -> Option<PathPattern> {
        let mut segments: Vec<&str> = text.strip_prefix('/')?.split('/').collect();
        let any_suffix = segments.last() == Some(&"**");
        if any_suffix {
            segments.pop();
        }
        let segments = segments.into_iter().map(Segment::parse).collect::<Option<_>>()?;
        Some(PathPattern { segments, any_suffix })
    }

    /// The pattern that matches every path.
    #[must_use]
    pub fn any() -> PathPattern {
        PathPattern { segments: Vec::new(), any_suffix: true }
    }

    /// The pattern that matches every path with this first segment; `None` if the segment can't be part of a pattern.
    #[must_use]
    pub fn under(first: &str) -> Option<PathPattern> {
        PathPattern::parse(&format!("/{first}/**"))
    }

    /// The first segment, unless it is a wildcard.
    #[must_use]
    pub fn first(&self) -> Option<&str> {
        match self.segments.first()? {
            Segment::Any => None,
            Segment::Exact(text) => Some(text),
        }
    }

    /// Whether the pattern matches a path, given without its query.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        let mut path_segments = path.strip_prefix('/').unwrap_or(path).split('/');
        for segment in &self.segments {
            if !path_segments.next().is_some_and(|text| segment.matches(text)) {
                return false;
            }
        }
        self.any_suffix || path_segments.next().is_none()
    }

    /// Whether this pattern matches every path that the other one matches.
    #[must_use]
    pub fn covers(&self, other: &PathPattern) -> bool {
        let length_fits = if self.any_suffix {
            other.segments.len() >= self.segments.len()
        } else {
            other.segments.len() == self.segments.len() && !other.any_suffix
        };
        length_fits && self.segments.iter().zip(&other.segments).all(|(mine, others)| mine.covers(others))
    }
}
