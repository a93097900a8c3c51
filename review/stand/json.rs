//! A small JSON reader, and base64, for the stand-in of the store.

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(entries) = self else {
            return None;
        };
        let found = entries.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value)
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> bool {
        self.space();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str) -> bool {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        if found {
            self.at += word.len();
        }
        found
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut entries = Vec::new();
                if self.eat(b'}') {
                    return Some(Json::Object(entries));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    if !self.eat(b':') {
                        return None;
                    }
                    entries.push((key, self.value()?));
                    if self.eat(b'}') {
                        return Some(Json::Object(entries));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.eat(b']') {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.eat(b']') {
                        return Some(Json::List(list));
                    }
                    if !self.eat(b',') {
                        return None;
                    }
                }
            }
            b'"' => self.string().map(Json::Text),
            b't' if self.word("true") => Some(Json::Bool(true)),
            b'f' if self.word("false") => Some(Json::Bool(false)),
            b'n' if self.word("null") => Some(Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        if self.bytes.get(self.at) != Some(&b'"') {
            return None;
        }
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b'r' => out.push(b'\r'),
                        b't' => out.push(b'\t'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let text = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(text, 16).ok()?;
                            let letter = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }
}

/// Quotes a text as JSON.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if (letter as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", letter as u32)),
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .chain(std::iter::repeat(&0))
            .take(3)
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(char::from(ALPHABET[(group >> (18 - 6 * index)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let (mut out, mut bits, mut count) = (Vec::new(), 0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|other| *other == byte) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}
