// Converts JSON values to text and back, with one reader and one writer that
// are created once and reused.
#include <json/reader.h>
#include <json/writer.h>

#include <memory>
#include <ostream>
#include <streambuf>

#include "dotterelbarrow/core/codec.h"

namespace dotterelbarrow::core {
namespace {

// Messages have only a few levels of nesting; texts with more than this many
// are rejected.
constexpr int kMaxNestingLevels = 32;
// The reader may report many errors in one text.
constexpr std::size_t kMaxErrorBytes = 200;

// A stream buffer that appends its output to a string.
class StringBuffer : public std::streambuf {
 public:
  std::string Take() { return std::exchange(text_, {}); }

 protected:
  int_type overflow(int_type c) override {
    text_.push_back(traits_type::to_char_type(c));
    return c;
  }
  std::streamsize xsputn(const char* data, std::streamsize size) override {
    text_.append(data, static_cast<std::size_t>(size));
    return size;
  }

 private:
  std::string text_;
};

class JsonWriter {
 public:
  JsonWriter() : stream_(&buffer_) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    // Passes payloads on byte for byte, without escaping non-ASCII text.
    builder["emitUTF8"] = true;
    writer_.reset(builder.newStreamWriter());
  }

  std::string Write(const Json::Value& value) {
    writer_->write(value, &stream_);
    return buffer_.Take();
  }

 private:
  StringBuffer buffer_;
  std::ostream stream_;
  std::unique_ptr<Json::StreamWriter> writer_;
};

std::unique_ptr<Json::CharReader> MakeReader() {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = kMaxNestingLevels;
  builder["strictRoot"] = false;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

}  // namespace

std::string WriteJson(const Json::Value& value) {
  static auto* const writer = new JsonWriter();
  return writer->Write(value);
}

std::optional<Json::Value> ReadJson(std::string_view text,
                                    base::Failure* reason) {
  static auto* const reader = MakeReader().release();
  Json::Value value;
  std::string errors;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value,
                      &errors)) {
      return value;
    }
  } catch (const Json::Exception& exception) {
    errors = exception.what();
  }
  *reason = {base::FailureCode::kMalformed,
             "not JSON: " + errors.substr(0, kMaxErrorBytes)};
  return std::nullopt;
}

std::size_t MaxJsonValues(std::string_view text) {
  std::size_t values = 1;
  bool is_in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (c == '"') {
      is_in_string = !is_in_string;
    } else if (is_in_string) {
      i += c == '\\' ? 1 : 0;
    } else if (c == ',' || c == '[' || c == '{') {
      ++values;
    }
  }
  return values;
}

}  // namespace dotterelbarrow::core
