package thornferry.app;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Line charts as PNG files; needs no display. */
final class Charts {
    static {
        System.setProperty("java.awt.headless", "true");
    }

    private Charts() {}

    /**
     * @param series by name, pairs of x and y
     */
    static void write(Path file, String title, String x, String y, Map<String, double[][]> series)
            throws IOException {
        XYSeriesCollection data = new XYSeriesCollection();
        series.forEach(
                (name, points) -> {
                    XYSeries one = new XYSeries(name);
                    for (double[] point : points) {
                        one.add(point[0], point[1]);
                    }
                    data.addSeries(one);
                });
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        title, x, y, data, PlotOrientation.VERTICAL, true, false, false);
        XYPlot plot = chart.getXYPlot();
        plot.setRenderer(new XYLineAndShapeRenderer(true, true));
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.setDomainGridlinePaint(Color.LIGHT_GRAY);
        ChartUtils.saveChartAsPNG(file.toFile(), chart, 800, 450);
    }
}
