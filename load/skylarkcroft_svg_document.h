#ifndef SKYLARKCROFT_LOAD_SKYLARKCROFT_SVG_DOCUMENT_H_
#define SKYLARKCROFT_LOAD_SKYLARKCROFT_SVG_DOCUMENT_H_

#include <string>
#include <string_view>

namespace skylarkcroft::load {

/// Point in pixels from the top left corner.
struct svg_point {
  double x = 0;
  double y = 0;

  bool operator==(const svg_point&) const = default;
};

/// Width and height in pixels.
struct svg_size {
  double width = 0;
  double height = 0;

  bool operator==(const svg_size&) const = default;
};

/// Where text stands against its point.
enum class svg_anchor { kStart, kMiddle, kEnd };

/// Drawing in Scalable Vector Graphics 1.1. Texts are escaped; colours are
/// given in any form that SVG knows.
class svg_document {
 public:
  explicit svg_document(svg_size size);

  void AddRectangle(svg_point corner, svg_size size, std::string_view colour);
  void AddLine(svg_point from, svg_point to, std::string_view colour);
  void AddCircle(svg_point centre, double radius, std::string_view colour);
  void AddText(svg_point at, svg_anchor anchor, std::string_view text);
  [[nodiscard]] std::string Render() const;

 private:
  svg_size size_;
  std::string elements_;
};

}  // namespace skylarkcroft::load

#endif  // SKYLARKCROFT_LOAD_SKYLARKCROFT_SVG_DOCUMENT_H_
