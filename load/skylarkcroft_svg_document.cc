#include "load/skylarkcroft_svg_document.h"

#include "load/skylarkcroft_text_table.h"

namespace skylarkcroft::load {
namespace {

std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char each : text) {
    switch (each) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += each;
    }
  }
  return escaped;
}

std::string Attribute(std::string_view name, std::string_view value) {
  return " " + std::string(name) + "=\"" + Escape(value) + "\"";
}

std::string Attribute(std::string_view name, double value) {
  return Attribute(name, Decimal(value));
}

std::string_view NameOf(svg_anchor anchor) {
  switch (anchor) {
    case svg_anchor::kStart:
      return "start";
    case svg_anchor::kMiddle:
      return "middle";
    case svg_anchor::kEnd:
      return "end";
  }
  return "start";
}

}  // namespace

svg_document::svg_document(svg_size size) : size_(size) {
  AddRectangle({0, 0}, size, "white");
}

void svg_document::AddRectangle(svg_point corner, svg_size size,
                                std::string_view colour) {
  elements_ += "<rect" + Attribute("x", corner.x) + Attribute("y", corner.y) +
               Attribute("width", size.width) +
               Attribute("height", size.height) + Attribute("fill", colour) +
               "/>\n";
}

void svg_document::AddLine(svg_point from, svg_point to,
                           std::string_view colour) {
  elements_ += "<line" + Attribute("x1", from.x) + Attribute("y1", from.y) +
               Attribute("x2", to.x) + Attribute("y2", to.y) +
               Attribute("stroke", colour) + "/>\n";
}

void svg_document::AddCircle(svg_point centre, double radius,
                             std::string_view colour) {
  elements_ += "<circle" + Attribute("cx", centre.x) +
               Attribute("cy", centre.y) + Attribute("r", radius) +
               Attribute("fill", colour) + "/>\n";
}

void svg_document::AddText(svg_point at, svg_anchor anchor,
                           std::string_view text) {
  elements_ += "<text" + Attribute("x", at.x) + Attribute("y", at.y) +
               Attribute("text-anchor", NameOf(anchor)) + ">" + Escape(text) +
               "</text>\n";
}

std::string svg_document::Render() const {
  return "<svg xmlns=\"http://www.w3.org/2000/svg\"" +
         Attribute("width", size_.width) + Attribute("height", size_.height) +
         Attribute("font-family", "sans-serif") + Attribute("font-size", "12") +
         ">\n" + elements_ + "</svg>\n";
}

}  // namespace skylarkcroft::load
